import {parseAnswerId, formatAnswerAt} from '@greengagecross/questionnaire';
import {formatTime} from '../format_time.js';
import type {ReportedConflict} from './accept_report.js';

/** Formats each conflict with both answers and who accepted theirs and when. */
export function formatConflicts(
  conflicts: readonly ReportedConflict[],
): string[] {
  return conflicts.flatMap(conflict => {
    const {id, base, mine, theirs} = conflict;
    const {subject, question, item} = parseAnswerId(id);
    const place = item === undefined ? subject : `${subject}, ${item}`;
    const reason =
      conflict.theirReason === '' ? '' : `: ${conflict.theirReason}`;
    const source = `${conflict.changedBy}, ${formatTime(conflict.changedAtMs)}, revision ${conflict.theirRevision}${reason}`;
    return [
      `Two operators changed ${place}: ${question?.text ?? ''}`,
      `  id      ${id}`,
      `  before  ${formatAnswerAt(id, base)}`,
      `  theirs  ${formatAnswerAt(id, theirs)}  (${source})`,
      `  yours   ${formatAnswerAt(id, mine)}`,
    ];
  });
}

/**
 * Explains why there is nothing to accept, and how to restore older answers.
 * The text continues a sentence of the caller.
 */
export function formatUnchanged(
  revision: number,
  baseRevision: number,
): string {
  if (revision === baseRevision) {
    return `revision ${revision} already has these answers.`;
  }
  return `revision ${revision} already contains every change in these answers since revision ${baseRevision}; its other differences come from other operators. To restore all answers of an older revision: greengagecross rollback.`;
}
