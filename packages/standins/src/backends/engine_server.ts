import {Effect} from 'effect';
import {BackendHeader} from '@greengagecross/backend';
import type {Address} from '@greengagecross/common';
import type {HttpExchange} from '@greengagecross/http';
import {CRASH_MARKER} from '../faults.js';
import {OrderDesk} from '../orders/order_desk.js';
import {StandinServer} from '../standin_server.js';
import {
  computeAnswerTokens,
  countPromptTokens,
  type StandinChatBody,
} from './expected_answer.js';
import type {EngineProfile} from './engine_profile.js';
import {Generation} from './generation.js';
import {makeChunk} from './make_chunk.js';
import {PrefixCache} from './prefix_cache.js';
import {PriorityGate} from './priority_gate.js';
import {RunLog} from './run_log.js';
import type {RunRecord} from './run_record.js';

const STREAM_PREFIX = '/v1/streams/';
const KEEP_GENERATION_MS = 30_000;

/** Stand-in of a model engine: continuous batches and a prefix cache. */
export class EngineServer extends StandinServer {
  private readonly cache: PrefixCache;
  private readonly slots: PriorityGate;
  private readonly orders: OrderDesk;
  private refusals = 0;
  private readonly generations = new Map<string, Generation>();

  constructor(
    address: Address,
    private readonly profile: EngineProfile,
    private readonly runs = new RunLog(),
  ) {
    super(address);
    this.cache = new PrefixCache(profile.cacheTokens);
    this.slots = new PriorityGate(profile.capacity);
    const listOpen = () =>
      [...this.generations.values()].filter(made => !made.isClosed());
    this.orders = new OrderDesk(profile, {
      countInFlight: () => listOpen().length,
      cut: () => listOpen().forEach(made => made.close()),
    });
  }

  protected override handle(
    exchange: HttpExchange,
    body: Buffer,
  ): Effect.Effect<void> {
    if (exchange.path.startsWith(STREAM_PREFIX)) {
      return this.handleStream(exchange);
    }
    const ordered = this.orders.handle(exchange, body.toString());
    if (ordered !== undefined) return ordered;
    switch (exchange.path) {
      case '/v1/chat/completions':
        return this.handleChat(exchange, body.toString());
      case '/v1/load':
        return Effect.sync(() => exchange.sendJson(200, this.describeLoad()));
      case '/observe/record':
        return Effect.sync(() => exchange.sendJson(200, this.runs.records));
      case '/observe/refusals':
        return Effect.sync(() => exchange.sendJson(200, this.refusals));
      case '/observe/load':
        return Effect.sync(() => exchange.sendJson(200, this.describeLoad()));
      default:
        return Effect.sync(() => exchange.sendJson(404, {error: 'no path'}));
    }
  }

  private isLeaving(): boolean {
    return this.gate.getFaults().leaving || this.orders.isDraining();
  }

  private describeLoad() {
    return {
      running: this.slots.countRunning(),
      waiting: this.slots.countWaiting(),
      capacity: this.profile.capacity,
      leaving: this.isLeaving(),
      ageMs: 0,
    };
  }

  private handleChat(
    exchange: HttpExchange,
    text: string,
  ): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const faults = this.gate.getFaults();
      if (this.isLeaving()) {
        this.refusals += 1;
        refuse(exchange, true);
        return;
      }
      const body = JSON.parse(text) as StandinChatBody;
      const attemptId = exchange.getHeader(BackendHeader.REQUEST_ID) ?? '';
      const record = this.makeRecord(exchange, attemptId, body);
      this.runs.add(record);
      if (faults.crashOnMarker && text.includes(CRASH_MARKER)) process.exit(1);
      const generation = new Generation(attemptId);
      this.generations.set(attemptId, generation);
      const priority = Number(exchange.getHeader(BackendHeader.PRIORITY) ?? 1);
      yield* this.generate(generation, record, body, priority).pipe(
        Effect.forkDetach,
      );
      const headers = {
        [BackendHeader.REQUEST_ID]: attemptId,
        [BackendHeader.PROMPT_TOKENS]: String(record.promptTokens),
        [BackendHeader.CACHED_TOKENS]: String(record.cachedTokens),
      };
      if (body.stream === true) {
        yield* this.relayEvents(exchange, generation, 0, headers);
      } else {
        yield* this.sendWhole(exchange, generation, body, headers);
      }
    });
  }

  private makeRecord(
    exchange: HttpExchange,
    attemptId: string,
    body: StandinChatBody,
  ): RunRecord {
    const chat = exchange.getHeader(BackendHeader.CHAT) ?? '';
    const customer = exchange.getHeader(BackendHeader.CUSTOMER) ?? '';
    return {
      attemptId,
      customer,
      chat,
      workId: body.metadata?.workId ?? '',
      promptTokens: countPromptTokens(body),
      cachedTokens: this.cache.get(`${customer}/${chat}`),
      isFinished: false,
    };
  }

  private generate(
    generation: Generation,
    record: RunRecord,
    body: StandinChatBody,
    priority: number,
  ): Effect.Effect<void> {
    const {profile} = this;
    const tokens = computeAnswerTokens(body);
    const cold = Math.max(0, record.promptTokens - record.cachedTokens);
    const work = Effect.gen({self: this}, function* () {
      yield* Effect.sleep(cold * profile.prefillMsPerToken);
      for (const token of tokens) {
        if (generation.isClosed()) return;
        yield* Effect.sleep(profile.msPerToken);
        generation.add(makeChunk(generation.attemptId, token));
      }
      generation.add(makeChunk(generation.attemptId, '', 'stop'));
      generation.add('[DONE]');
      record.isFinished = true;
      this.cache.set(
        `${record.customer}/${record.chat}`,
        record.promptTokens + tokens.length,
      );
    });
    return this.slots
      .run(priority, work)
      .pipe(
        Effect.ensuring(Effect.sync(() => generation.close())),
        Effect.andThen(Effect.sleep(KEEP_GENERATION_MS)),
        Effect.ensuring(
          Effect.sync(() => this.generations.delete(generation.attemptId)),
        ),
      );
  }

  private relayEvents(
    exchange: HttpExchange,
    generation: Generation,
    first: number,
    headers: Readonly<Record<string, string>>,
  ): Effect.Effect<void> {
    const {response} = exchange;
    return Effect.gen(function* () {
      response.writeHead(200, {
        ...headers,
        'content-type': 'text/event-stream',
      });
      response.flushHeaders();
      for (let index = first; ;) {
        const data = generation.events[index];
        if (data !== undefined) {
          response.write(`id: ${index}\ndata: ${data}\n\n`);
          index += 1;
          continue;
        }
        if (generation.isClosed()) break;
        yield* generation.waitChange();
      }
      response.end();
    });
  }

  private sendWhole(
    exchange: HttpExchange,
    generation: Generation,
    body: StandinChatBody,
    headers: Readonly<Record<string, string>>,
  ): Effect.Effect<void> {
    return Effect.gen(function* () {
      while (!generation.isClosed()) yield* generation.waitChange();
      const content = computeAnswerTokens(body).join('');
      const message = {role: 'assistant', content};
      const choices = [{index: 0, message, finish_reason: 'stop'}];
      const id = `chatcmpl-${generation.attemptId}`;
      exchange.sendJson(200, {id, object: 'chat.completion', choices}, headers);
    });
  }

  private handleStream(exchange: HttpExchange): Effect.Effect<void> {
    const attemptId = exchange.path.slice(STREAM_PREFIX.length);
    const generation = this.generations.get(attemptId);
    if (generation === undefined) {
      return Effect.sync(() => exchange.sendJson(404, {error: 'no stream'}));
    }
    if (exchange.method === 'DELETE') {
      generation.close();
      return Effect.sync(() => exchange.sendJson(200, {}));
    }
    const last = Number(exchange.getHeader('last-event-id') ?? -1);
    const headers = {[BackendHeader.REQUEST_ID]: attemptId};
    return this.relayEvents(exchange, generation, last + 1, headers);
  }
}

/** Answers that the request did not run. */
export function refuse(exchange: HttpExchange, isLeaving: boolean): void {
  exchange.sendJson(
    503,
    {error: 'not run'},
    {
      [BackendHeader.REQUEST_ID]:
        exchange.getHeader(BackendHeader.REQUEST_ID) ?? '',
      [BackendHeader.NOT_RUN]: 'true',
      ...(isLeaving ? {[BackendHeader.LEAVING]: 'true'} : {}),
    },
  );
}
