import {defineCommand} from 'citty';
import {Effect} from 'effect';
import type {HistoryEntry} from '@greengagecross/platform';
import {formatTime} from '../format_time.js';
import {COMMON_ARGS, runClientCommand} from '../run_command.js';

const MAX_SHOWN_CHANGES = 5;

/** `greengagecross history`: lists revisions and the answers they changed. */
export const historyCommand = defineCommand({
  meta: {
    name: 'history',
    description:
      'Show who changed which answers, when and why, newest first. Exit codes: 0 shown, 1 the table service does not answer.',
  },
  args: COMMON_ARGS,
  run: ({args}) =>
    runClientCommand(args, context =>
      Effect.map(
        context.progress.track(
          'Reading the history',
          context.store.listHistory(),
        ),
        entries => ({
          value: {revisions: entries},
          lines:
            entries.length === 0
              ? ['No revision was accepted yet.']
              : entries.flatMap(formatEntry),
        }),
      ),
    ),
});

function formatEntry(entry: HistoryEntry): string[] {
  const {record, changes, changeCount} = entry;
  const {revision, acceptedBy, acceptedAtMs, reason} = record;
  const why = reason === '' ? '' : `  ${reason}`;
  const shown = changes.slice(0, MAX_SHOWN_CHANGES).map(id => `    ${id}`);
  const more = changeCount - shown.length;
  return [
    `${revision}  ${formatTime(acceptedAtMs)}  ${acceptedBy}${why}`,
    ...shown,
    ...(more > 0 ? [`    and ${more} more`] : []),
  ];
}
