#!/usr/bin/env node
/** Entry point of the wisteriarun daemon. */

// SIGHUP ends a process that does not listen for it. Loading the program takes most of
// the time of a start, so this listener is added before.
process.on('SIGHUP', () => {});

await import('./program.js');
