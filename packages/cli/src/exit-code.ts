/** Exit codes of `bilberryctl`. Scripts rely on them, so they never change. Code 1 means wrong usage. */
export enum ExitCode {
	Ok = 0,
	/** A file or an argument is invalid. */
	InvalidInput = 2,
	/** The fleet rejected the edit. */
	Rejected = 3,
	/** The edit may be in the log; repeat the command. */
	NotYetKnown = 4,
	/** The node cannot be reached or answered with an error. */
	Unreachable = 5,
	/** The edit was accepted but is not in force on all live nodes within the limit. */
	NotInForce = 6,
	NotFound = 7,
	/** The bearer token is missing or unknown. */
	Unauthorized = 8,
	/** `catalogue diff` found differences. */
	Different = 9,
}

/** Help text on the exit codes. */
export const EXIT_CODE_HELP = `
Exit codes:
  0  done
  1  wrong usage
  2  a file or an argument is invalid
  3  the edit was rejected
  4  the edit is not yet known to be accepted or rejected; repeat the command
  5  the node cannot be reached or answered with an error
  6  the edit was accepted but is not in force on all live nodes yet
  7  not found
  8  the bearer token is missing or unknown
  9  catalogue diff found differences`;
