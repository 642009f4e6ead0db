import {defineCommand} from 'citty';
import {Clock, Effect, Result} from 'effect';
import {HostState} from '@greengagecross/platform';
import type {ClientContext} from '../client_context.js';
import {ExitCode} from '../exit_code.js';
import {isColoured} from '../is_coloured.js';
import {
  COMMON_ARGS,
  runClientCommand,
  type CommandOutput,
} from '../run_command.js';
import {checkPromises} from '../status/check_promises.js';
import type {FleetView} from '../status/fleet_view.js';
import {formatStatus} from '../status/format_status.js';
import {PromiseState} from '../status/promise_state.js';

/** `greengagecross status`: reports whether every promise holds now. */
export const statusCommand = defineCommand({
  meta: {
    name: 'status',
    description:
      'Show whether every promise holds now, what is degraded, since when, and what to do. Exit codes: 0 all hold, 4 some do not hold or are unknown.',
  },
  args: COMMON_ARGS,
  run: ({args}) => runClientCommand(args, readStatus),
});

function readStatus(
  context: ClientContext,
): Effect.Effect<CommandOutput, Error> {
  return Effect.gen(function* () {
    const view = yield* context.progress.track(
      'Asking the daemons',
      readView(context),
    );
    const promises = checkPromises(view);
    const isHeld = promises.every(({state}) => state === PromiseState.HOLDS);
    const daemons = view.readings.map(({id, report, error}) => ({
      id,
      answers: report !== undefined,
      revision: report?.configuration.revision,
      error,
    }));
    return {
      value: {isHeld, promises, daemons},
      lines: formatStatus(
        view,
        promises,
        isColoured(process.env, process.stdout),
      ),
      exitCode: isHeld ? ExitCode.OK : ExitCode.INCOMPLETE,
    };
  });
}

function readView(context: ClientContext): Effect.Effect<FleetView, Error> {
  return Effect.gen(function* () {
    const {daemons, isFromHostList} = yield* context.fleet.listDaemons();
    const readings = yield* context.fleet.read(daemons);
    const current = yield* Effect.result(context.store.readCurrent());
    const record = Result.isSuccess(current) ? current.success : undefined;
    const isStoreUp = Result.isSuccess(current);
    const hostList = yield* Effect.option(context.hosts.fetch());
    const leaving =
      hostList._tag === 'None'
        ? []
        : hostList.value.hosts.filter(host => host.state === HostState.LEAVING);
    const foundServices =
      record === undefined
        ? undefined
        : yield* Effect.option(context.store.readServices(record));
    return {
      atMs: yield* Clock.currentTimeMillis,
      readings,
      isHostListUp: isFromHostList,
      storeRevision: isStoreUp ? (record?.revision ?? 0) : undefined,
      services: foundServices?._tag === 'Some' ? foundServices.value : [],
      leaving: leaving.map(host => host.id),
    };
  });
}
