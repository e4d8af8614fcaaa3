/** Exit codes of the programs, defined only here. Scripts and service managers rely on the numbers. */

/** The command succeeded, or the process was stopped cleanly. */
export const EXIT_OK = 0;
/** A command failed. */
export const EXIT_FAILURE = 1;
/** An edit was rejected because the row has changed since it was read. */
export const EXIT_CONFLICT = 3;
/** An actor crashed, which is a bug: EX_SOFTWARE. The codes from 70 to 78 are those of sysexits.h. */
export const EXIT_CRASH = 70;
/** The process cannot listen on an address of its settings: EX_OSERR. */
export const EXIT_LISTEN = 71;
/** The settings are invalid or cannot be read: EX_CONFIG. */
export const EXIT_SETTINGS = 78;
