import type {PlacementRecord} from '@greengagecross/common';

interface KeptRecord {
  /** Hash of customer and chat, so that no chat's name is kept. */
  readonly chatHash: number;
  record: PlacementRecord;
}

/** Keeps the last decisions, the oldest dropped first. */
export class DecisionLog {
  private readonly kept = new Map<string, KeptRecord>();

  constructor(private readonly limit: number) {}

  /** Adds a decision; one of the same request is replaced. */
  add(chatHash: number, record: PlacementRecord): void {
    this.kept.delete(record.requestId);
    this.kept.set(record.requestId, {chatHash, record});
    if (this.kept.size <= this.limit) return;
    const [oldest] = this.kept.keys();
    if (oldest !== undefined) this.kept.delete(oldest);
  }

  /** Records which engine took a request. */
  recordTaken(requestId: string, engine: string): void {
    const kept = this.kept.get(requestId);
    if (kept === undefined) return;
    kept.record = {...kept.record, takenBy: engine};
  }

  /** Lists a customer's decisions for a chat, newest first. */
  listOfChat(customer: string, chatHash: number): PlacementRecord[] {
    return [...this.kept.values()]
      .filter(kept => kept.chatHash === chatHash)
      .map(kept => kept.record)
      .filter(record => record.customer === customer)
      .reverse();
  }
}
