import {formatTime} from '../format_time.js';
import {PromiseState, type PromiseReport} from './promise_state.js';
import type {FleetView} from './fleet_view.js';

const SCREEN_WIDTH = 80;
const STATE_WIDTH = 10;
const NAME_WIDTH = 24;
const MS_PER_MINUTE = 60_000;
const COLOURS: Readonly<Record<PromiseState, string>> = {
  [PromiseState.HOLDS]: '32',
  [PromiseState.DEGRADED]: '31',
  [PromiseState.UNKNOWN]: '33',
};

/** Formats the fleet's state as the lines of one screen of 80 columns. */
export function formatStatus(
  view: FleetView,
  promises: readonly PromiseReport[],
  isColoured: boolean,
): string[] {
  const notHolding = promises.filter(({state}) => state !== PromiseState.HOLDS);
  const verdict =
    notHolding.length === 0
      ? 'every promise holds'
      : `${notHolding.length} of ${promises.length} promises do not hold or are unknown`;
  return [
    `${formatTime(view.atMs)}  ${verdict}`,
    '',
    ...promises.flatMap(promise => formatPromise(promise, isColoured)),
    '',
    'zone                  daemons  answer  stopping  newest up',
    ...formatZones(view),
    ...formatAdvice(notHolding),
  ];
}

function formatPromise(promise: PromiseReport, isColoured: boolean): string[] {
  const {name, state, detail, sinceMs} = promise;
  const since = sinceMs === undefined ? '' : `, since ${formatTime(sinceMs)}`;
  const shown = state.toUpperCase().padEnd(STATE_WIDTH);
  const label = isColoured
    ? `\u001b[${COLOURS[state]}m${shown}\u001b[0m`
    : shown;
  const indent = STATE_WIDTH + NAME_WIDTH;
  const detailWidth = SCREEN_WIDTH - indent;
  const lines = formatWrapped(`${detail}${since}`, detailWidth);
  // A name too long for its column is printed on its own line.
  const isLong = name.length >= NAME_WIDTH;
  const head = `${label}${isLong ? name : name.padEnd(NAME_WIDTH) + (lines[0] ?? '')}`;
  const rest = isLong ? lines : lines.slice(1);
  return [head, ...rest.map(line => `${' '.repeat(indent)}${line}`)];
}

/** Formats one line per zone, so that 360 daemons fit on one screen. */
function formatZones(view: FleetView): string[] {
  const zones = new Map<string, FleetView['readings'][number][]>();
  for (const reading of view.readings) {
    const {availabilityZone} = reading.host;
    const zoneReadings = zones.get(availabilityZone) ?? [];
    zones.set(availabilityZone, [...zoneReadings, reading]);
  }
  return [...zones].sort().map(([zone, readings]) => {
    const reports = readings.flatMap(({report}) => report ?? []);
    const stopping = reports.filter(({self}) => self.state === 'leaving');
    const uptime = Math.min(...reports.map(report => report.uptimeMs));
    const minutes = Number.isFinite(uptime)
      ? `${Math.floor(uptime / MS_PER_MINUTE)} min`
      : '-';
    return [
      zone.slice(0, 20).padEnd(20),
      String(readings.length).padStart(9),
      String(reports.length).padStart(8),
      String(stopping.length).padStart(10),
      minutes.padStart(11),
    ].join('');
  });
}

function formatAdvice(notHolding: readonly PromiseReport[]): string[] {
  const advice = [...new Set(notHolding.flatMap(p => p.advice ?? []))];
  if (advice.length === 0) return [];
  const lines = advice.flatMap(text =>
    formatWrapped(text, SCREEN_WIDTH - 4).map((line, at) =>
      at === 0 ? `  - ${line}` : `    ${line}`,
    ),
  );
  return ['', 'What to do:', ...lines];
}

/** Breaks text between words so that no line is wider than a width. */
function formatWrapped(text: string, width: number): string[] {
  const lines: string[] = [];
  let line = '';
  for (const word of text.split(' ')) {
    if (line !== '' && line.length + 1 + word.length > width) {
      lines.push(line);
      line = '';
    }
    line = line === '' ? word : `${line} ${word}`;
  }
  return [...lines, line];
}
