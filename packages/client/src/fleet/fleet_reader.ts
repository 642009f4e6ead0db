import {Effect, Result} from 'effect';
import {
  decodeDocument,
  ExcessProperties,
  toError,
} from '@greengagecross/common';
import {
  HostRole,
  type Host,
  type HostDirectory,
} from '@greengagecross/platform';
import type {DaemonCaller} from '../daemon_caller.js';
import {DaemonReportSchema, type DaemonReport} from './daemon_report.js';

const CONCURRENT_CALLS = 32;

/** A daemon's host with its report, or why there is none. */
export interface DaemonReading {
  readonly id: string;
  readonly host: Host;
  readonly report: DaemonReport | undefined;
  readonly error: string | undefined;
}

/** Reads every daemon that the host list shows. */
export class FleetReader {
  constructor(
    private readonly hosts: HostDirectory,
    private readonly daemons: DaemonCaller,
  ) {}

  /** Lists the entry hosts. */
  listHosts(): Effect.Effect<readonly Host[], Error> {
    return Effect.map(this.hosts.fetch(), list =>
      list.hosts.filter(host => host.role === HostRole.ENTRY),
    );
  }

  /** Reads the reports of hosts. */
  read(hosts: readonly Host[]): Effect.Effect<readonly DaemonReading[]> {
    return Effect.forEach(hosts, host => this.readOne(host), {
      concurrency: CONCURRENT_CALLS,
    });
  }

  private readOne(host: Host): Effect.Effect<DaemonReading> {
    const address = {host: host.host, port: host.controlPort};
    const reading = this.daemons.send(address, 'GET', '/v1/dump').pipe(
      Effect.flatMap(value =>
        Effect.try({
          try: () =>
            decodeDocument(
              DaemonReportSchema,
              value,
              host.id,
              ExcessProperties.IGNORED,
            ),
          catch: toError,
        }),
      ),
      Effect.result,
    );
    return Effect.map(reading, result => ({
      id: host.id,
      host,
      report: Result.isSuccess(result) ? result.success : undefined,
      error: Result.isSuccess(result) ? undefined : result.failure.message,
    }));
  }
}
