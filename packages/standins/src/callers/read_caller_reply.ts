import type {IncomingMessage} from 'node:http';
import {Effect} from 'effect';
import {createParser} from 'eventsource-parser';
import {
  HeaderName,
  OUTCOME_EVENT,
  type Outcome,
  type OutcomeEvent,
} from '@greengagecross/common';
import {readBody, type OpenReply} from '@greengagecross/http';
import {computeAnswerTokens} from '../backends/expected_answer.js';
import type {CallerRequest} from './caller_request.js';
import {WorkKind} from './caller_verdict.js';
import {SendFailure} from './send_failure.js';
import type {CallerReply} from './caller_reply.js';

const MAX_BODY_BYTES = 4 * 1024 * 1024;

/**
 * Reads a reply to its end and compares it with the expected answer. A stream
 * that is cut off gives a reply without outcome; another reply that is cut off
 * fails.
 */
export function readCallerReply(
  reply: OpenReply,
  request: CallerRequest,
  startMs: number,
): Effect.Effect<CallerReply, SendFailure> {
  const isStream = reply.headers['content-type'] === 'text/event-stream';
  if (isStream) return readStream(reply, request, startMs);
  return readBody(reply.stream, MAX_BODY_BYTES, 'daemon').pipe(
    Effect.mapError(() => SendFailure.CONNECTION_LOST),
    Effect.map(body => {
      const text = body.toString();
      const firstTokenMs = performance.now() - startMs;
      const isCompleteAndOwn =
        reply.status === 200 && isOwnAnswer(text, request);
      return {
        ...readHeaders(reply),
        isCompleteAndOwn,
        firstTokenMs,
      };
    }),
  );
}

function readHeaders(reply: OpenReply) {
  const {headers} = reply;
  return {
    outcome: headers[HeaderName.OUTCOME] as Outcome | undefined,
    reason: String(headers[HeaderName.REASON] ?? ''),
    requestId: String(headers[HeaderName.REQUEST_ID] ?? ''),
    ticket: headers[HeaderName.TICKET] as string | undefined,
    address: headers[HeaderName.ADDRESS] as string | undefined,
  };
}

function isOwnAnswer(text: string, request: CallerRequest): boolean {
  switch (request.kind) {
    case WorkKind.CHAT: {
      const expected = computeAnswerTokens(request.body).join('');
      return text.includes(JSON.stringify(expected));
    }
    case WorkKind.LOOKUP:
      return text.includes('"path":"/cloths"');
    case WorkKind.RESERVATION:
      return text.includes(JSON.stringify(request.workId));
  }
}

function readStream(
  reply: OpenReply,
  request: CallerRequest,
  startMs: number,
): Effect.Effect<CallerReply> {
  return Effect.callback<CallerReply>(resume => {
    let content = '';
    let firstTokenMs = 0;
    let outcomeEvent: OutcomeEvent | undefined;
    const parser = createParser({
      onEvent: event => {
        if (event.event === OUTCOME_EVENT) {
          outcomeEvent = JSON.parse(event.data) as OutcomeEvent;
        } else if (event.data !== '[DONE]') {
          firstTokenMs ||= performance.now() - startMs;
          content += parseContent(event.data);
        }
      },
    });
    const finish = (): void => {
      const expected = computeAnswerTokens(request.body).join('');
      resume(
        Effect.succeed({
          ...readHeaders(reply),
          outcome: outcomeEvent?.outcome,
          reason: outcomeEvent?.reason ?? '',
          isCompleteAndOwn: content === expected,
          ticket: outcomeEvent?.ticket,
          address: outcomeEvent?.address,
          firstTokenMs,
        }),
      );
    };
    const stream: IncomingMessage = reply.stream;
    stream.setEncoding('utf8');
    stream.on('data', (chunk: string) => parser.feed(chunk));
    stream.once('end', finish);
    stream.once('error', finish);
    stream.once('close', finish);
  });
}

function parseContent(data: string): string {
  const chunk = JSON.parse(data) as {
    choices?: {delta?: {content?: string}}[];
  };
  return chunk.choices?.[0]?.delta?.content ?? '';
}
