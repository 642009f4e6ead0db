import {Effect} from 'effect';
import {toError, type Address} from '@greengagecross/common';
import type {HttpExchange} from '@greengagecross/http';
import type {Host, HostList, Transaction} from '@greengagecross/platform';
import {StandinServer} from '../standin_server.js';
import {listKeys} from './list_keys.js';
import {TableState} from './table_state.js';

const OBJECT_PREFIX = '/v1/objects/';
const WEIGHT_PREFIX = '/v1/weights/';
const MAX_SHOWN_ROWS = 100_000;
/** The version of every model that the weight store has not. */
const ABSENT_VERSION = '/absent';
const WEIGHT_BYTES = 20_000_000_000;

/** Calls that the stand-in has answered, by kind. */
export interface PlatformCounts {
  reads: number;
  writes: number;
  hostReads: number;
}

interface ListCall {
  readonly prefix: string;
  readonly after: string;
  readonly limit: number;
}

/** Stand-in of the platform's services, all state in memory. */
export class PlatformServer extends StandinServer {
  private readonly table = new TableState();
  private readonly objects = new Map<string, Buffer>();
  private readonly hostLists: {atMs: number; list: HostList}[] = [];
  private readonly counts: PlatformCounts = {
    reads: 0,
    writes: 0,
    hostReads: 0,
  };

  constructor(address: Address) {
    super(address);
    this.setHosts([]);
  }

  /** Sets the host list; callers see it after the lag. */
  setHosts(hosts: readonly Host[]): void {
    const version = (this.hostLists.at(-1)?.list.version ?? 0) + 1;
    this.hostLists.push({atMs: Date.now(), list: {version, hosts}});
  }

  protected override handle(
    exchange: HttpExchange,
    body: Buffer,
  ): Effect.Effect<void> {
    return Effect.sync(() => {
      try {
        this.answer(exchange, body);
      } catch (thrown) {
        exchange.sendJson(400, {error: toError(thrown).message});
      }
    });
  }

  private answer(exchange: HttpExchange, body: Buffer): void {
    if (exchange.path.startsWith(OBJECT_PREFIX)) {
      this.answerObject(exchange, body);
      return;
    }
    if (exchange.path.startsWith(WEIGHT_PREFIX)) {
      const isAbsent = exchange.path.endsWith(ABSENT_VERSION);
      if (isAbsent) exchange.sendJson(404, {});
      else exchange.sendJson(200, {bytes: WEIGHT_BYTES});
      return;
    }
    switch (exchange.path) {
      case '/v1/table/read': {
        this.counts.reads += 1;
        const {keys} = JSON.parse(body.toString()) as {keys: string[]};
        exchange.sendJson(200, {rows: this.table.read(keys)});
        return;
      }
      case '/v1/table/list': {
        this.counts.reads += 1;
        const {prefix, after, limit} = JSON.parse(body.toString()) as ListCall;
        exchange.sendJson(200, {rows: this.table.list(prefix, after, limit)});
        return;
      }
      case '/v1/table/transact': {
        this.counts.writes += 1;
        const transaction = JSON.parse(body.toString()) as Transaction;
        exchange.sendJson(200, this.table.transact(transaction));
        return;
      }
      case '/v1/objects-list': {
        this.counts.reads += 1;
        const {prefix, after, limit} = JSON.parse(body.toString()) as ListCall;
        const held = [...this.objects.keys()].map(decodeURIComponent);
        const keys = listKeys(held, prefix, after, limit);
        exchange.sendJson(200, {keys});
        return;
      }
      case '/v1/hosts':
        this.counts.hostReads += 1;
        this.answerHosts(exchange);
        return;
      case '/observe/hosts':
        this.setHosts(JSON.parse(body.toString()) as Host[]);
        exchange.sendJson(200, {});
        return;
      case '/observe/claims':
        exchange.sendJson(200, this.table.list('claim/', '', MAX_SHOWN_ROWS));
        return;
      case '/observe/counts':
        exchange.sendJson(200, this.counts);
        return;
      default:
        exchange.sendJson(404, {error: 'no such path'});
    }
  }

  /** Sends the list unless the caller has this version of it. */
  private answerHosts(exchange: HttpExchange): void {
    const list = this.findShownHosts();
    const etag = `"${list.version}"`;
    if (exchange.getHeader('if-none-match') === etag) {
      exchange.send(304, {etag}, '');
      return;
    }
    exchange.sendJson(200, list, {etag});
  }

  private findShownHosts(): HostList {
    const shownUntilMs = Date.now() - this.gate.getFaults().lagMs;
    const shown = this.hostLists.findLast(entry => entry.atMs <= shownUntilMs);
    return shown?.list ?? {version: 0, hosts: []};
  }

  private answerObject(exchange: HttpExchange, body: Buffer): void {
    const key = exchange.path.slice(OBJECT_PREFIX.length);
    if (exchange.method === 'PUT') {
      this.counts.writes += 1;
      this.objects.set(key, body);
      exchange.sendJson(200, {});
      return;
    }
    if (exchange.method === 'DELETE') {
      this.counts.writes += 1;
      this.objects.delete(key);
      exchange.sendJson(200, {});
      return;
    }
    this.counts.reads += 1;
    const found = this.objects.get(key);
    if (found === undefined) {
      exchange.sendJson(404, {});
      return;
    }
    exchange.send(200, {'content-type': 'application/octet-stream'}, found);
  }
}
