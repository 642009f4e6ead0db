const CARRIAGE_RETURN = '\r';
const LINE_FEED = '\n';

/**
 * Converts the line ends of an event stream to line feeds. The parser reads
 * text without carriage returns in proportion to its length; in other text it
 * searches for both line ends from each line on.
 */
export class LineEnds {
  private isAfterReturn = false;

  /** Returns the next text of the stream with line feeds only. */
  toLineFeeds(text: string): string {
    if (text === '') return text;
    // Both characters of one line end may come in two chunks.
    const isRestOfEnd = this.isAfterReturn && text.startsWith(LINE_FEED);
    const lines = isRestOfEnd ? text.slice(1) : text;
    this.isAfterReturn = text.endsWith(CARRIAGE_RETURN);
    return lines.includes(CARRIAGE_RETURN)
      ? lines.replace(/\r\n?/g, LINE_FEED)
      : lines;
  }
}
