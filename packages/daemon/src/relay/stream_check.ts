import {Schema} from 'effect';
import type {EventSourceMessage} from 'eventsource-parser';

/** Data of the last event of a complete answer (the done event). */
const DONE = '[DONE]';
const INDEX = /^\d{1,9}$/;

/** How to handle one event of an engine's stream. */
export enum EventVerdict {
  RELAY = 'relay',
  /** The event was already relayed. */
  SKIP = 'skip',
  /** The answer is complete. */
  DONE = 'done',
  /** The event is malformed, out of sequence or of another answer. */
  BROKEN = 'broken',
}

/** The fields of a chunk that identify its answer and its end. */
const ChunkSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  choices: Schema.Array(
    Schema.Struct({
      finish_reason: Schema.optionalKey(Schema.NullOr(Schema.NonEmptyString)),
    }),
  ),
});

const isChunk = Schema.is(ChunkSchema);

/** Makes the completion id that an engine gives to an attempt's answer. */
export function makeCompletionId(attemptId: string): string {
  return `chatcmpl-${attemptId}`;
}

/**
 * Checks the events of one attempt: each must have the attempt's completion id
 * and the next index, and the done event must follow a chunk with a finish
 * reason of any choice.
 */
export class StreamCheck {
  private lastIndex = -1;
  private hasFinishReason = false;
  private readonly completionId: string;

  constructor(attemptId: string) {
    this.completionId = makeCompletionId(attemptId);
  }

  /** Returns the index of the last relayed event; -1 before the first. */
  getLastIndex(): number {
    return this.lastIndex;
  }

  /** Checks the next event; advances the index if the event is to be relayed. */
  accept(event: EventSourceMessage): EventVerdict {
    const {id = '', data} = event;
    if (event.event !== undefined || !INDEX.test(id)) {
      return EventVerdict.BROKEN;
    }
    const index = Number(id);
    const chunk = data === DONE ? undefined : parseChunk(data);
    if (data !== DONE && chunk?.id !== this.completionId) {
      return EventVerdict.BROKEN;
    }
    if (index <= this.lastIndex) return EventVerdict.SKIP;
    if (index !== this.lastIndex + 1) return EventVerdict.BROKEN;
    if (chunk === undefined) {
      return this.hasFinishReason ? EventVerdict.DONE : EventVerdict.BROKEN;
    }
    this.lastIndex = index;
    const hasFinished = chunk.choices.some(
      choice => typeof choice.finish_reason === 'string',
    );
    this.hasFinishReason = this.hasFinishReason || hasFinished;
    return EventVerdict.RELAY;
  }
}

function parseChunk(data: string): typeof ChunkSchema.Type | undefined {
  try {
    const parsed: unknown = JSON.parse(data);
    return isChunk(parsed) ? parsed : undefined;
  } catch {
    return undefined;
  }
}
