import type {PositionedPart} from '@greengagecross/decisions';
import {listMessageTexts} from './list_message_texts.js';
import type {GuardedRequest} from './request_guard.js';

/** The messages of guarded requests, each request read once. */
export class ChatTexts {
  private readonly known = new WeakMap<
    GuardedRequest,
    readonly PositionedPart[]
  >();

  /** @param key secret of the hashes, equal on all daemons */
  constructor(private readonly key: string) {}

  /** Lists the keyed hashes of a chat's messages; empty for other requests. */
  list(request: GuardedRequest): readonly PositionedPart[] {
    const known = this.known.get(request);
    if (known !== undefined) return known;
    const {customer, service, call, body} = request.fingerprintParts;
    // Only chats have messages; see `FingerprintParts`.
    const texts =
      call === '' ? listMessageTexts(this.key, {customer, service}, body) : [];
    this.known.set(request, texts);
    return texts;
  }
}
