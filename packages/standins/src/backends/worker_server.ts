import {Effect} from 'effect';
import {BackendHeader} from '@greengagecross/backend';
import type {Address} from '@greengagecross/common';
import type {HttpExchange} from '@greengagecross/http';
import {CRASH_MARKER} from '../faults.js';
import {StandinServer} from '../standin_server.js';
import {refuse} from './engine_server.js';
import {RunLog} from './run_log.js';
import type {RunRecord} from './run_record.js';

const WORK_MS = 3;

/** Stand-in of a plain service's worker: it records every call that it runs. */
export class WorkerServer extends StandinServer {
  private running = 0;

  constructor(
    address: Address,
    private readonly runs = new RunLog(),
  ) {
    super(address);
  }

  protected override handle(
    exchange: HttpExchange,
    body: Buffer,
  ): Effect.Effect<void> {
    switch (exchange.path) {
      case '/observe/record':
        return Effect.sync(() => exchange.sendJson(200, this.runs.records));
      case '/observe/load':
        return Effect.sync(() =>
          exchange.sendJson(200, {running: this.running, waiting: 0}),
        );
      default:
        return this.handleCall(exchange, body.toString());
    }
  }

  private handleCall(
    exchange: HttpExchange,
    text: string,
  ): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      if (this.gate.getFaults().leaving) {
        refuse(exchange, true);
        return;
      }
      const workId = findWorkId(text);
      const record = makeRecord(exchange, workId);
      this.runs.add(record);
      this.checkMarker(exchange, text);
      this.running += 1;
      yield* Effect.sleep(WORK_MS);
      this.running -= 1;
      record.isFinished = true;
      const {method, path} = exchange;
      const headers = {[BackendHeader.REQUEST_ID]: record.attemptId};
      exchange.sendJson(200, {method, path, workId}, headers);
    });
  }

  private checkMarker(exchange: HttpExchange, text: string): void {
    if (!this.gate.getFaults().crashOnMarker) return;
    const whole = `${exchange.request.url ?? ''} ${text}`;
    if (whole.includes(CRASH_MARKER)) process.exit(1);
  }
}

function findWorkId(text: string): string {
  try {
    const parsed = JSON.parse(text) as {workId?: unknown};
    return typeof parsed.workId === 'string' ? parsed.workId : '';
  } catch {
    return '';
  }
}

function makeRecord(exchange: HttpExchange, workId: string): RunRecord {
  return {
    attemptId: exchange.getHeader(BackendHeader.REQUEST_ID) ?? '',
    customer: exchange.getHeader(BackendHeader.CUSTOMER) ?? '',
    chat: exchange.getHeader(BackendHeader.CHAT) ?? '',
    workId,
    promptTokens: 0,
    cachedTokens: 0,
    isFinished: false,
  };
}
