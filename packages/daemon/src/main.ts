#!/usr/bin/env node
import {parseArgs} from 'node:util';
import {Effect, Exit} from 'effect';
import {Logger, toError, ValidationError} from '@greengagecross/common';
import {processHeap} from '@greengagecross/http';
import {makeDaemon} from './daemon.js';
import {readSettings, type StartSettings} from './read_settings.js';

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;
const USAGE = 'usage: greengagecrossd --settings FILE.json';
const logger = new Logger('daemon');

/** Reads the settings file named on the command line, or ends the process. */
function readStartSettings(): StartSettings {
  try {
    const {values} = parseArgs({
      options: {settings: {type: 'string'}, help: {type: 'boolean'}},
    });
    if (values.help === true) {
      process.stdout.write(`${USAGE}\n`);
      process.exit(0);
    }
    if (values.settings === undefined) throw new Error(USAGE);
    return readSettings(values.settings);
  } catch (thrown) {
    const error = toError(thrown);
    const hint = error instanceof ValidationError ? '' : `\n${USAGE}`;
    process.stderr.write(`greengagecrossd: ${error.message}${hint}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
}

/**
 * Runs the daemon until it has stopped. The first signal stops it gracefully,
 * the second at once.
 */
async function runMain(): Promise<void> {
  const {settings, keys} = readStartSettings();
  processHeap.start();
  const daemon = await Effect.runPromise(makeDaemon(settings, keys));
  const onSignal = (): void => {
    if (isStopRequested) daemon.stopNow();
    isStopRequested = true;
    daemon.stop();
  };
  let isStopRequested = false;
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  const exit = await Effect.runPromiseExit(daemon.run());
  if (Exit.isSuccess(exit)) process.exit(0);
  logger.log('The daemon failed.', {cause: String(exit.cause)});
  process.exit(EXIT_FAILED);
}

await runMain();
