#!/usr/bin/env node
/** Entry point of wisteriactl. */
import {runCli} from './cli.js';

// A reader such as `head` may close the pipe early, which is no failure.
process.stdout.on('error', () => process.exit(0));
process.exitCode = await runCli(process.argv.slice(2), {
  env: process.env,
  out: text => process.stdout.write(text),
  err: text => process.stderr.write(text),
});
