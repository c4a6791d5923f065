#!/usr/bin/env node
/** Entry point of wisteriactl, the operators' command line. */
import {runCli} from './cli.js';

// A reader such as `head` may close the pipe early, which is no failure. Every
// other error of stdout also ends the process with exit code 0.
process.stdout.on('error', () => process.exit(0));
process.exitCode = await runCli(process.argv.slice(2), {
  env: process.env,
  out: text => process.stdout.write(text),
  err: text => process.stderr.write(text),
});
