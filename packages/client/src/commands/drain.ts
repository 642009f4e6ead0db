import {defineCommand} from 'citty';
import {Clock, Effect, Result} from 'effect';
import {ExitCode} from '../exit_code.js';
import type {ClientContext} from '../client_context.js';
import {COMMON_ARGS, runCommand, type CommandOutput} from '../run_command.js';
import {findDaemon} from './dump.js';

const STOP_LIMIT_MS = 120_000;
const CHECK_MS = 500;

/** `greengagecross drain`: stops one daemon and cuts off no request. */
export const drainCommand = defineCommand({
  meta: {
    name: 'drain',
    description:
      'Stop a daemon gracefully: it leaves, finishes what it serves and ends. Exit codes: 0 asked or ended, 4 it still runs after 120 s.',
  },
  args: {
    ...COMMON_ARGS,
    daemon: {
      type: 'string',
      description: 'Id of the daemon.',
      required: true,
    },
    wait: {
      type: 'boolean',
      description: 'Wait until the daemon has ended.',
      default: false,
    },
  },
  run: ({args}) =>
    runCommand(args, context => stopDaemon(context, args.daemon, args.wait)),
});

function stopDaemon(
  context: ClientContext,
  daemon: string,
  mustWait: boolean,
): Effect.Effect<CommandOutput, Error> {
  return Effect.gen(function* () {
    const {control} = yield* findDaemon(context, daemon);
    yield* context.daemons.send(control, 'POST', '/v1/drain');
    const asked = `${daemon} is leaving: it takes no new callers and finishes what it serves.`;
    if (!mustWait) {
      return {value: {daemon, state: 'leaving'}, lines: [asked]};
    }
    const startMs = yield* Clock.currentTimeMillis;
    for (;;) {
      const elapsedMs = (yield* Clock.currentTimeMillis) - startMs;
      const read = yield* Effect.result(context.fleet.fetchReport(control));
      if (Result.isFailure(read)) {
        context.progress.remove();
        const seconds = (elapsedMs / 1000).toFixed(1);
        return {
          value: {daemon, state: 'ended', elapsedMs},
          lines: [asked, `${daemon} has ended after ${seconds} s.`],
        };
      }
      if (elapsedMs > STOP_LIMIT_MS) {
        context.progress.remove();
        return {
          value: {daemon, state: 'leaving', elapsedMs},
          lines: [asked, `${daemon} still runs after 120 s.`],
          exitCode: ExitCode.INCOMPLETE,
        };
      }
      context.progress.print(`Waiting for ${daemon} to end ...`, elapsedMs);
      yield* Effect.sleep(CHECK_MS);
    }
  });
}
