/** Is told of the replies that do not reach Node's parser. */
export abstract class ReplyFilterListener {
  /** Called for each late reply with the id that it names and its status. */
  abstract onLateReply(id: string, status: number): void;

  /**
   * Called when the bytes on a connection are not what is due on it.
   *
   * @param replyId of the request that waits; undefined if it has none, or none
   *     waits
   */
  abstract onMalformedReply(reason: string, replyId: string | undefined): void;
}
