#!/usr/bin/env node
/**
 * The entry point of the command line. `serve` installs a SIGHUP handler before anything else is loaded: the
 * signal announces changed settings, and its default action would end the daemon. The settings are read
 * later, so a signal during startup needs no further handling. Other commands keep the default and end with
 * their terminal. Options may stand before the command, and only `commands.js` can tell their values from it.
 */
if (process.argv.includes('serve', 2)) process.on('SIGHUP', () => undefined);

await import('./commands.js');
