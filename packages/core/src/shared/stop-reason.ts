/**
 * Reason for aborting signals that are used for cancellation only. Without a reason each abort would build an exception
 * with a stack trace, which cost a tenth of the time of a call.
 */
export const STOP_REASON = new Error('the work was stopped');
