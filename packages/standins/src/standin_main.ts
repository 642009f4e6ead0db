import {parseArgs} from 'node:util';
import {Effect} from 'effect';
import {EngineServer} from './backends/engine_server.js';
import {DEFAULT_PROFILE} from './backends/engine_profile.js';
import {RunLog} from './backends/run_log.js';
import {WorkerServer} from './backends/worker_server.js';
import {PlatformServer} from './platform/platform_server.js';
import {StandinKind} from './standin_kind.js';
import type {StandinServer} from './standin_server.js';

/** Makes the stand-in that the command line asks for. */
function makeStandin(): StandinServer {
  const {values} = parseArgs({
    options: {
      kind: {type: 'string'},
      host: {type: 'string', default: '127.0.0.1'},
      port: {type: 'string'},
      profile: {type: 'string', default: '{}'},
      runs: {type: 'string'},
    },
  });
  const address = {host: values.host, port: Number(values.port)};
  switch (values.kind) {
    case StandinKind.PLATFORM:
      return new PlatformServer(address);
    case StandinKind.ENGINE: {
      const changes = JSON.parse(values.profile) as object;
      const profile = {...DEFAULT_PROFILE, ...changes};
      return new EngineServer(address, profile, new RunLog(values.runs));
    }
    case StandinKind.WORKER:
      return new WorkerServer(address, new RunLog(values.runs));
    default:
      throw new Error(`no stand-in of kind ${String(values.kind)}`);
  }
}

const standin = makeStandin();
process.on('SIGTERM', () => process.exit(0));
await Effect.runPromise(
  Effect.scoped(Effect.andThen(standin.start(), Effect.never)),
);
