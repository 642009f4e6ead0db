/** Makes the data of one event of a streamed chat completion. */
export function makeChunk(
  attemptId: string,
  content: string,
  finishReason: string | null = null,
): string {
  return JSON.stringify({
    id: `chatcmpl-${attemptId}`,
    object: 'chat.completion.chunk',
    choices: [{index: 0, delta: {content}, finish_reason: finishReason}],
  });
}
