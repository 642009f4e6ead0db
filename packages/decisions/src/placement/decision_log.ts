import type {PlacementRecord} from '@greengagecross/common';

interface LoggedDecision {
  /** Hash of the request's `chatKey`, so that no chat id is kept in memory. */
  readonly chatHash: number;
  record: PlacementRecord;
}

/** Keeps the latest placement decisions in memory, oldest removed first. */
export class DecisionLog {
  private readonly decisions = new Map<string, LoggedDecision>();

  /** @param limit the most decisions that are kept. */
  constructor(private readonly limit: number) {}

  /** Adds a decision; replaces an earlier decision of the same request. */
  add(chatHash: number, record: PlacementRecord): void {
    this.decisions.delete(record.requestId);
    this.decisions.set(record.requestId, {chatHash, record});
    if (this.decisions.size <= this.limit) return;
    const [oldest] = this.decisions.keys();
    if (oldest !== undefined) this.decisions.delete(oldest);
  }

  /** Records which engine accepted a request; ignored if it is unknown. */
  recordAcceptingEngine(requestId: string, engine: string): void {
    const decision = this.decisions.get(requestId);
    if (decision === undefined) return;
    decision.record = {...decision.record, takenBy: engine};
  }

  /** Lists a customer's decisions for a chat, newest first. */
  listOfChat(customer: string, chatHash: number): PlacementRecord[] {
    return [...this.decisions.values()]
      .filter(decision => decision.chatHash === chatHash)
      .map(decision => decision.record)
      .filter(record => record.customer === customer)
      .reverse();
  }
}
