import debug from 'debug';

const ROOT_NAMESPACE = 'greengagecross';
const IS_JSON_FORMAT = process.env['GREENGAGECROSS_LOG'] === 'json';

if (process.env['DEBUG'] === undefined) debug.enable(`${ROOT_NAMESPACE}:*`);

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
  log(sentence: string, fields: LogFields = {}): void {
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

function writeRaw(line: string): void {
  process.stderr.write(`${line}\n`);
}
