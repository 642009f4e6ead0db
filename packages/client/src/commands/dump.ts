import {defineCommand} from 'citty';
import {Effect} from 'effect';
import {ClientError} from '../client_error.js';
import {ExitCode} from '../exit_code.js';
import type {ClientContext} from '../client_context.js';
import type {DaemonHost} from '../fleet/fleet_reader.js';
import {COMMON_ARGS, runClientCommand} from '../run_command.js';

/** `greengagecross dump`: prints the complete state of one daemon. */
export const dumpCommand = defineCommand({
  meta: {
    name: 'dump',
    description:
      "Print a daemon's complete state, without customers' text or secrets. Exit codes: 0 printed, 1 daemon does not answer, 2 no such daemon.",
  },
  args: {
    ...COMMON_ARGS,
    daemon: {
      type: 'string',
      description: 'Id of the daemon.',
      required: true,
    },
  },
  run: ({args}) =>
    runClientCommand(args, context =>
      Effect.gen(function* () {
        const host = yield* findDaemon(context, args.daemon);
        const state = yield* context.daemonCaller.send(
          host.control,
          'GET',
          '/v1/dump',
        );
        return {value: state, lines: [JSON.stringify(state, null, 2)]};
      }),
    ),
});

/** Finds a daemon of the fleet by id; fails with a ClientError if unknown. */
export function findDaemon(
  context: ClientContext,
  id: string,
): Effect.Effect<DaemonHost, Error> {
  return Effect.flatMap(context.fleet.listDaemons(), ({daemons}) => {
    const host = daemons.find(daemon => daemon.id === id);
    if (host !== undefined) return Effect.succeed(host);
    const ids = daemons.slice(0, 10).map(daemon => daemon.id);
    return Effect.fail(
      new ClientError(
        ExitCode.BAD_INPUT,
        `there is no daemon ${id}`,
        `Name a daemon of the fleet, such as ${ids.join(', ')}.`,
      ),
    );
  });
}
