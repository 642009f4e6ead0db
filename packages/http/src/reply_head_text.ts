const STATUS_LINE = /^HTTP\/1\.[01] (\d{3})/;
const LATER_STATUS_LINE = /.HTTP\/1\.[01] \d{3}/s;

/** Status line and headers of a reply, as they were received. */
export class ReplyHeadText {
  /** 0 if the status line is malformed. */
  readonly status: number;

  /** @param text the head in latin1, with its empty line */
  constructor(private readonly text: string) {
    this.status = Number(STATUS_LINE.exec(text)?.[1] ?? 0);
  }

  /**
   * Returns whether another head begins inside of this one, which was cut short
   * then.
   */
  hasOtherStatusLine(): boolean {
    return LATER_STATUS_LINE.test(this.text);
  }

  /** Returns whether the final head of the reply is still to come. */
  isInformational(): boolean {
    return this.status >= 100 && this.status < 200;
  }

  /** Finds the value of a header by its name in lower case. */
  findHeader(name: string): string | undefined {
    for (const line of this.text.split('\r\n')) {
      const colon = line.indexOf(':');
      if (colon !== name.length) continue;
      if (line.slice(0, colon).toLowerCase() !== name) continue;
      return line.slice(colon + 1).trim();
    }
    return undefined;
  }
}
