#!/usr/bin/env node
import process from 'node:process';
import {createSignalInbox} from './signal-inbox.js';

const signals = createSignalInbox(process);
// Imported after the signals are handled: until then, a signal ends the process, and the other modules take a while to load.
const {runFleetProgram} = await import('./fleet-program.js');
await runFleetProgram(signals);
