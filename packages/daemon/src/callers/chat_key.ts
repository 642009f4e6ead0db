/** Makes the key by which a customer's chat is placed on every daemon. */
export function makeChatKey(customer: string, chat: string): string {
  return `${customer}\u0000${chat}`;
}
