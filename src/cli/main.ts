#!/usr/bin/env node
/**
 * The start of the command line. A daemon listens for SIGHUP before anything else is loaded: by default that
 * signal, which says that the settings have changed, would end it. The settings are read later, so an early one
 * needs nothing more. Other commands end with their terminal.
 */
if (process.argv[2] === 'serve') process.on('SIGHUP', () => undefined);

await import('./commands.js');
