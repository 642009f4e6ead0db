import {Schema} from 'effect';
import {makeCompletionId} from './stream_check.js';

const isCompletion = Schema.is(
  Schema.Struct({
    id: Schema.NonEmptyString,
    choices: Schema.Array(
      Schema.Struct({finish_reason: Schema.NonEmptyString}),
    ).check(Schema.isMinLength(1)),
  }),
);

/**
 * Returns whether a body is the complete chat completion of an attempt: it has
 * the attempt's completion id, and every choice has a finish reason.
 */
export function isCompleteAnswer(body: string, attemptId: string): boolean {
  try {
    const parsed: unknown = JSON.parse(body);
    return isCompletion(parsed) && parsed.id === makeCompletionId(attemptId);
  } catch {
    return false;
  }
}
