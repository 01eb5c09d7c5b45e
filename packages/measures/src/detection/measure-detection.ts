import type {Measure} from '../measure.js';
import {DetectionFault} from './detection-faults.js';
import {DetectionScheme} from './detection-schemes.js';
import {runScenario, type DetectionFigures} from './run-scenario.js';

/** Measures how fast and how accurately faulty targets are ejected, in the product and two baselines. */
export const measureDetection: Measure = async ({seed, reportProgress}) => {
	const faults: Partial<Record<DetectionFault, Partial<Record<DetectionScheme, DetectionFigures>>>> = {};
	for (const fault of Object.values(DetectionFault)) {
		faults[fault] = {};
		for (const scheme of Object.values(DetectionScheme)) {
			const startedAtMs = Date.now();
			const figures = await runScenario({scheme, fault, seed});
			faults[fault][scheme] = figures;
			const seconds = ((Date.now() - startedAtMs) / 1000).toFixed(1);
			reportProgress(`${fault} ${scheme} (${seconds} s): ${JSON.stringify(figures)}`);
		}
	}

	return {faults};
};
