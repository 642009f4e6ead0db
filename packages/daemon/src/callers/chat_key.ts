/** Makes the placement key of a customer's chat, the same on every daemon. */
export function makeChatKey(customer: string, chat: string): string {
  return `${customer}\u0000${chat}`;
}
