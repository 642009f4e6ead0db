import {defineCommand} from 'citty';
import {Clock, Effect, Result} from 'effect';
import {ExitCode} from '../exit_code.js';
import type {ClientContext} from '../client_context.js';
import {
  COMMON_ARGS,
  runClientCommand,
  type CommandOutput,
} from '../run_command.js';
import {findDaemon} from './dump.js';

const STOP_TIMEOUT_MS = 120_000;
const POLL_INTERVAL_MS = 500;

/** `greengagecross drain`: stops one daemon without cutting off requests. */
export const drainCommand = defineCommand({
  meta: {
    name: 'drain',
    description:
      'Stop a daemon gracefully: it leaves the fleet, finishes its requests and ends. Exit codes: 0 draining, or ended with --wait; 4 still running after 120 s.',
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
      description: 'Wait up to 120 s until the daemon has ended.',
      default: false,
    },
  },
  run: ({args}) =>
    runClientCommand(args, context =>
      stopDaemon(context, args.daemon, args.wait),
    ),
});

function stopDaemon(
  context: ClientContext,
  daemon: string,
  mustWait: boolean,
): Effect.Effect<CommandOutput, Error> {
  return Effect.gen(function* () {
    const {control} = yield* findDaemon(context, daemon);
    yield* context.daemonCaller.send(control, 'POST', '/v1/drain');
    const confirmation = `${daemon} is draining: it leaves the fleet, stops accepting connections and finishes its requests.`;
    if (!mustWait) {
      return {value: {daemon, state: 'leaving'}, lines: [confirmation]};
    }
    const startMs = yield* Clock.currentTimeMillis;
    for (;;) {
      const elapsedMs = (yield* Clock.currentTimeMillis) - startMs;
      const report = yield* Effect.result(context.fleet.fetchReport(control));
      // Any failure of the call counts as the end of the daemon.
      if (Result.isFailure(report)) {
        context.progress.remove();
        const seconds = (elapsedMs / 1000).toFixed(1);
        return {
          value: {daemon, state: 'ended', elapsedMs},
          lines: [confirmation, `${daemon} has ended after ${seconds} s.`],
        };
      }
      if (elapsedMs > STOP_TIMEOUT_MS) {
        context.progress.remove();
        return {
          value: {daemon, state: 'leaving', elapsedMs},
          lines: [confirmation, `${daemon} is still running after 120 s.`],
          exitCode: ExitCode.INCOMPLETE,
        };
      }
      context.progress.print(`Waiting for ${daemon} to end ...`, elapsedMs);
      yield* Effect.sleep(POLL_INTERVAL_MS);
    }
  });
}
