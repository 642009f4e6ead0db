import {Effect, Result} from 'effect';
import {
  decodeDocument,
  ExcessProperties,
  toError,
  type Address,
} from '@greengagecross/common';
import {HostRole, type HostDirectory} from '@greengagecross/platform';
import type {DaemonCaller} from '../daemon_caller.js';
import {DaemonReportSchema, type DaemonReport} from './daemon_report.js';

const CONCURRENT_CALLS = 32;

/** Where a daemon is reached by operators. */
export interface DaemonHost {
  readonly id: string;
  readonly availabilityZone: string;
  readonly control: Address;
}

/** The daemons that are known, and from whom. */
export interface DaemonList {
  readonly hosts: readonly DaemonHost[];
  /** Whether the platform's host list answered. */
  readonly isFromHostList: boolean;
}

/** A daemon's host with its report, or why there is none. */
export interface DaemonReading {
  readonly id: string;
  readonly host: DaemonHost;
  readonly report: DaemonReport | undefined;
  readonly error: string | undefined;
}

/** Reads every daemon of the fleet. */
export class FleetReader {
  /** @param entries daemons asked when the host list does not answer. */
  constructor(
    private readonly hosts: HostDirectory,
    private readonly daemons: DaemonCaller,
    private readonly entries: readonly Address[],
  ) {}

  /** Lists the daemons, from the host list or else from a daemon. */
  listHosts(): Effect.Effect<DaemonList, Error> {
    const shown = Effect.map(this.hosts.fetch(), list => ({
      isFromHostList: true,
      hosts: list.hosts
        .filter(host => host.role === HostRole.ENTRY)
        .map(({id, availabilityZone, host, controlPort}) => ({
          id,
          availabilityZone,
          control: {host, port: controlPort},
        })),
    }));
    return Effect.catch(shown, error => this.listFromDaemons(error));
  }

  /** Reads the reports of daemons. */
  read(hosts: readonly DaemonHost[]): Effect.Effect<readonly DaemonReading[]> {
    return Effect.forEach(hosts, host => this.readOne(host), {
      concurrency: CONCURRENT_CALLS,
    });
  }

  /** Reads one daemon's report. */
  fetchReport(control: Address): Effect.Effect<DaemonReport, Error> {
    return Effect.flatMap(
      this.daemons.send(control, 'GET', '/v1/dump'),
      value =>
        Effect.try({
          try: () =>
            decodeDocument(
              DaemonReportSchema,
              value,
              'a dump',
              ExcessProperties.IGNORED,
            ),
          catch: toError,
        }),
    );
  }

  private listFromDaemons(error: Error): Effect.Effect<DaemonList, Error> {
    return Effect.gen({self: this}, function* () {
      for (const entry of this.entries) {
        const asked = yield* Effect.result(this.fetchReport(entry));
        if (Result.isFailure(asked)) continue;
        const hosts = asked.success.live.map(member => ({
          id: member.id,
          availabilityZone: member.availabilityZone,
          control: member.controlAddress,
        }));
        return {hosts, isFromHostList: false};
      }
      return yield* Effect.fail(error);
    });
  }

  private readOne(host: DaemonHost): Effect.Effect<DaemonReading> {
    return Effect.map(
      Effect.result(this.fetchReport(host.control)),
      result => ({
        id: host.id,
        host,
        report: Result.isSuccess(result) ? result.success : undefined,
        error: Result.isSuccess(result) ? undefined : result.failure.message,
      }),
    );
  }
}
