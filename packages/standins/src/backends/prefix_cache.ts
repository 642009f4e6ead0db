/** Remembers how many tokens of each chat are cached, least recent out first. */
export class PrefixCache {
  private readonly tokens = new Map<string, number>();
  private total = 0;

  constructor(private readonly maxTokens: number) {}

  /** Returns the cached tokens of a chat; 0 when it is cold. */
  get(chat: string): number {
    return this.tokens.get(chat) ?? 0;
  }

  /** Sets the cached tokens of a chat as the most recent. */
  set(chat: string, count: number): void {
    this.remove(chat);
    this.tokens.set(chat, count);
    this.total += count;
    for (const oldest of this.tokens.keys()) {
      if (this.total <= this.maxTokens) return;
      this.remove(oldest);
    }
  }

  private remove(chat: string): void {
    this.total -= this.tokens.get(chat) ?? 0;
    this.tokens.delete(chat);
  }
}
