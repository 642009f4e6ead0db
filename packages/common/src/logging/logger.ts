import debug from 'debug';

const ROOT_NAMESPACE = 'greengagecross';
const IS_JSON_FORMAT = process.env['GREENGAGECROSS_LOG'] === 'json';

if (process.env['DEBUG'] === undefined) debug.enable(`${ROOT_NAMESPACE}:*`);

/** A longer text in a field, such as an id that a client chose, is cut. */
const MAX_FIELD_LENGTH = 2000;

/** Fields of a log line; must not hold text of customers or secrets. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/**
 * Logs constant sentences with fields to standard error, prefixed with the
 * part of the process that logs.
 *
 * GREENGAGECROSS_LOG=json writes one JSON object a line. DEBUG selects the
 * prefixes to log, as in `DEBUG=greengagecross:members`; unset, it selects all.
 */
export class Logger {
  private static sink: ((line: string) => void) | undefined;
  private readonly writer: debug.Debugger;

  constructor(private readonly part: string) {
    this.writer = debug(`${ROOT_NAMESPACE}:${part}`);
    if (IS_JSON_FORMAT) this.writer.log = writeRaw;
  }

  /**
   * Redirects every log line of the process to `sink`, as JSON without a
   * trailing line break, whatever DEBUG selects. If `sink` is undefined, lines
   * go to standard error again.
   */
  static setSink(sink: ((line: string) => void) | undefined): void {
    Logger.sink = sink;
  }

  /** Logs a sentence; fields that are undefined are omitted. */
  log(sentence: string, allFields: LogFields = {}): void {
    const fields = keepLength(allFields);
    if (Logger.sink !== undefined) {
      const at = new Date().toISOString();
      Logger.sink(JSON.stringify({at, part: this.part, sentence, ...fields}));
      return;
    }
    if (!this.writer.enabled) return;
    if (IS_JSON_FORMAT) {
      const at = new Date().toISOString();
      writeRaw(JSON.stringify({at, part: this.part, sentence, ...fields}));
      return;
    }
    const pairs = Object.entries(fields)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => `${name}=${value}`);
    this.writer('%s', [sentence, ...pairs].join(' '));
  }
}

/** Cuts texts of fields; returns the same fields if none is too long. */
function keepLength(fields: LogFields): LogFields {
  const isLong = (value: unknown): value is string =>
    typeof value === 'string' && value.length > MAX_FIELD_LENGTH;
  if (!Object.values(fields).some(isLong)) return fields;
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      isLong(value) ? `${value.slice(0, MAX_FIELD_LENGTH)}...` : value,
    ]),
  );
}

function writeRaw(line: string): void {
  process.stderr.write(`${line}\n`);
}
