import {defineCommand} from 'citty';
import {Effect, Result} from 'effect';
import {HostRole} from '@greengagecross/platform';
import type {ClientContext} from '../client_context.js';
import {COMMON_ARGS, runCommand, type CommandOutput} from '../run_command.js';

/** `greengagecross status`: how the fleet is. */
export const statusCommand = defineCommand({
  meta: {name: 'status', description: 'Show how the fleet is.'},
  args: COMMON_ARGS,
  run: ({args}) => runCommand(args, readStatus),
});

function readStatus(
  context: ClientContext,
): Effect.Effect<CommandOutput, Error> {
  return Effect.gen(function* () {
    const list = yield* context.hosts.fetch();
    const entries = list.hosts.filter(host => host.role === HostRole.ENTRY);
    const daemons = yield* Effect.forEach(
      entries,
      host => {
        const address = {host: host.host, port: host.controlPort};
        return Effect.map(
          Effect.result(context.daemons.send(address, 'GET', '/v1/dump')),
          result => ({
            id: host.id,
            answers: Result.isSuccess(result),
            state: Result.isSuccess(result) ? result.success : undefined,
          }),
        );
      },
      {concurrency: 16},
    );
    const lines = daemons.map(
      daemon =>
        `${daemon.id}  ${daemon.answers ? 'answers' : 'does not answer'}`,
    );
    return {value: {daemons}, lines};
  });
}
