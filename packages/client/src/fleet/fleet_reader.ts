import {Effect, Result} from 'effect';
import {
  decodeDocument,
  ExcessProperties,
  toError,
  type Address,
} from '@greengagecross/common';
import {HostRole, type HostListSource} from '@greengagecross/platform';
import type {DaemonCaller} from '../daemon_caller.js';
import {DaemonReportSchema, type DaemonReport} from './daemon_report.js';

const CONCURRENT_CALLS = 32;

/** A daemon and the address of its control listener. */
export interface DaemonHost {
  readonly id: string;
  readonly availabilityZone: string;
  readonly control: Address;
}

/** Daemons of the fleet, and where the list comes from. */
export interface DaemonList {
  readonly daemons: readonly DaemonHost[];
  /** False when the list comes from a daemon instead of the platform. */
  readonly isFromHostList: boolean;
}

/** A daemon with its report or, if reading failed, the error message. */
export interface DaemonReading {
  readonly id: string;
  readonly host: DaemonHost;
  readonly report: DaemonReport | undefined;
  readonly error: string | undefined;
}

/** Lists the daemons of the fleet and reads their reports. */
export class FleetReader {
  /**
   * @param fallbackDaemons Control addresses of daemons that are asked for the
   *     daemons of the fleet when the host list does not reply.
   */
  constructor(
    private readonly hosts: HostListSource,
    private readonly daemonCaller: DaemonCaller,
    private readonly fallbackDaemons: readonly Address[],
  ) {}

  /**
   * Lists the daemons from the host list or, if the list does not reply, from
   * the first fallback daemon that replies. Fails with the error of the host
   * list if no fallback daemon replies.
   */
  listDaemons(): Effect.Effect<DaemonList, Error> {
    const listed = Effect.map(this.hosts.fetch(), list => ({
      isFromHostList: true,
      daemons: list.hosts
        // Hosts with the role ENTRY run daemons.
        .filter(host => host.role === HostRole.ENTRY)
        .map(({id, availabilityZone, host, controlPort}) => ({
          id,
          availabilityZone,
          control: {host, port: controlPort},
        })),
    }));
    return Effect.catch(listed, error => this.listFromDaemons(error));
  }

  /** Reads the report of each daemon; a failure is part of its reading. */
  read(
    daemons: readonly DaemonHost[],
  ): Effect.Effect<readonly DaemonReading[]> {
    return Effect.forEach(daemons, host => this.readDaemon(host), {
      concurrency: CONCURRENT_CALLS,
    });
  }

  /** Fetches a daemon's report; fails if the call or the decoding fails. */
  fetchReport(control: Address): Effect.Effect<DaemonReport, Error> {
    return Effect.flatMap(
      this.daemonCaller.send(control, 'GET', '/v1/dump'),
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
      for (const address of this.fallbackDaemons) {
        const result = yield* Effect.result(this.fetchReport(address));
        if (Result.isFailure(result)) continue;
        const daemons = result.success.live.map(member => ({
          id: member.id,
          availabilityZone: member.availabilityZone,
          control: member.controlAddress,
        }));
        return {daemons, isFromHostList: false};
      }
      return yield* Effect.fail(error);
    });
  }

  private readDaemon(host: DaemonHost): Effect.Effect<DaemonReading> {
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
