import debug from 'debug';

const ROOT = 'greengagecross';
const JSON_FORM = process.env['GREENGAGECROSS_LOG'] === 'json';

if (process.env['DEBUG'] === undefined) debug.enable(`${ROOT}:*`);

/** Fields added to a log line; never customer text or secrets. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/**
 * Writes short sentences under one part's fixed prefix, to standard error.
 *
 * Set GREENGAGECROSS_LOG=json for one JSON object a line, and DEBUG to choose
 * prefixes, as in `DEBUG=greengagecross:members`.
 */
export class Logger {
  private static sink: ((line: string) => void) | undefined;
  private readonly writer: debug.Debugger;

  constructor(private readonly part: string) {
    this.writer = debug(`${ROOT}:${part}`);
    if (JSON_FORM) this.writer.log = writeRaw;
  }

  /** Gives every line of the process, as JSON, to a sink; undefined ends it. */
  static setSink(sink: ((line: string) => void) | undefined): void {
    Logger.sink = sink;
  }

  /** Logs one sentence with optional fields. */
  log(sentence: string, fields: LogFields = {}): void {
    if (Logger.sink !== undefined) {
      const at = new Date().toISOString();
      Logger.sink(JSON.stringify({at, part: this.part, sentence, ...fields}));
      return;
    }
    if (!this.writer.enabled) return;
    if (JSON_FORM) {
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
