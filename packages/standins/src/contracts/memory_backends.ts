import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {Effect} from 'effect';
import {
  BackendHeader,
  EngineClient,
  ServiceClient,
  type BackendCall,
  type EngineLoad,
  type ServiceRequest,
} from '@greengagecross/backend';
import type {HttpReply, OpenReply} from '@greengagecross/http';
import {WeightStore} from '@greengagecross/platform';
import {
  computeAnswerTokens,
  type StandinChatBody,
} from '../backends/expected_answer.js';

const WEIGHT_BYTES = 1000;

/** An engine without a network before it; each answer stands at once. */
export class MemoryEngine extends EngineClient {
  private readonly answers = new Map<string, readonly string[]>();
  private readonly unsent = new Map<string, IncomingMessage>();

  override open(call: BackendCall, body: Buffer): Effect.Effect<OpenReply> {
    return Effect.sync(() => {
      const {attemptId} = call;
      const asked = JSON.parse(body.toString()) as StandinChatBody;
      const tokens = computeAnswerTokens(asked);
      const id = `chatcmpl-${attemptId}`;
      if (asked.stream !== true) {
        const message = {role: 'assistant', content: tokens.join('')};
        const choices = [{index: 0, message, finish_reason: 'stop'}];
        return makeReply(attemptId, JSON.stringify({id, choices}));
      }
      const chunks = [...tokens, ''].map((content, index) => {
        const reason = index === tokens.length ? 'stop' : null;
        const choices = [{index: 0, delta: {content}, finish_reason: reason}];
        return JSON.stringify({id, choices});
      });
      this.answers.set(attemptId, [...chunks, '[DONE]']);
      return this.sendFrom(attemptId, 0);
    });
  }

  override resume(
    call: BackendCall,
    afterIndex: number,
  ): Effect.Effect<OpenReply> {
    return Effect.sync(() => this.sendFrom(call.attemptId, afterIndex + 1));
  }

  override cancel(call: BackendCall): Effect.Effect<void> {
    return Effect.sync(() => {
      const stream = this.unsent.get(call.attemptId);
      if (stream === undefined) return;
      this.unsent.delete(call.attemptId);
      finishReply(stream, '');
    });
  }

  override fetchLoad(): Effect.Effect<EngineLoad> {
    const load = {running: 0, waiting: 0, capacity: 1, ageMs: 0};
    return Effect.succeed({...load, leaving: false});
  }

  /** The events leave a turn later, so that a cancel may come before them. */
  private sendFrom(attemptId: string, first: number): OpenReply {
    const reply = makeReply(attemptId);
    const events = (this.answers.get(attemptId) ?? [])
      .map((data, index) => `id: ${index}\ndata: ${data}\n\n`)
      .slice(first);
    this.unsent.set(attemptId, reply.stream);
    setImmediate(() => {
      if (!this.unsent.delete(attemptId)) return;
      finishReply(reply.stream, events.join(''));
    });
    return reply;
  }
}

/** A worker without a network before it. */
export class MemoryWorker extends ServiceClient {
  override send(
    call: BackendCall,
    request: ServiceRequest,
  ): Effect.Effect<HttpReply> {
    const {method, path, body} = request;
    const {workId} = JSON.parse(body.toString()) as {workId: string};
    return Effect.succeed({
      status: 200,
      headers: {[BackendHeader.REQUEST_ID]: call.attemptId},
      body: Buffer.from(JSON.stringify({method, path, workId})),
    });
  }
}

/** Weights without a network before them. */
export class MemoryWeights extends WeightStore {
  override getSize(
    model: string,
    version: string,
  ): Effect.Effect<number | undefined> {
    return Effect.succeed(version === 'absent' ? undefined : WEIGHT_BYTES);
  }
}

function makeReply(attemptId: string, text?: string): OpenReply {
  const stream = new IncomingMessage(new Socket());
  if (text !== undefined) finishReply(stream, text);
  const headers = {[BackendHeader.REQUEST_ID]: attemptId};
  const connectionUse = {
    connection: 1,
    requestsBefore: 0,
    wasSentBefore: false,
  };
  const rawHeaders = Object.entries(headers).flat();
  return {status: 200, headers, rawHeaders, stream, connectionUse};
}

function finishReply(stream: IncomingMessage, text: string): void {
  stream.complete = true;
  if (text !== '') stream.push(text);
  stream.push(null);
}
