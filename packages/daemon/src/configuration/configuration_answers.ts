import {Effect} from 'effect';
import {
  FetchPartsSchema,
  FetchRevisionSchema,
  PeerMethod,
  type FetchParts,
  type PartsAnswer,
  type PeerServer,
  type RevisionAnswer,
} from '@greengagecross/peers';
import type {ConfigurationFollower} from './configuration_follower.js';

/** Maximum total length of the part bodies in one answer, in UTF-16 units. */
const MAX_ANSWER_CHARACTERS = 256 * 1024;

/** Answers peers that fetch the configuration in force. */
export class ConfigurationAnswers {
  constructor(private readonly follower: ConfigurationFollower) {}

  /** Adds the methods to the server of peer calls. */
  addTo(server: PeerServer): void {
    server.addMethod(PeerMethod.FETCH_REVISION, FetchRevisionSchema, () =>
      Effect.sync(() => this.answerRevision()),
    );
    server.addMethod(PeerMethod.FETCH_PARTS, FetchPartsSchema, request =>
      Effect.sync(() => this.answerParts(request)),
    );
  }

  private answerRevision(): RevisionAnswer {
    const view = this.follower.getView();
    if (view === undefined) return {};
    return {record: JSON.stringify(view.accepted.record)};
  }

  /**
   * Answers the requested parts in force, unknown ones left out. The answer
   * ends before the part that would make it too large; it has at least one part
   * if any is known.
   */
  private answerParts(request: FetchParts): PartsAnswer {
    const bodies = this.follower.getView()?.getBodies();
    const parts: {digest: string; body: string}[] = [];
    let size = 0;
    for (const digest of request.digests) {
      const body = bodies?.get(digest);
      if (body === undefined) continue;
      size += body.length;
      if (size > MAX_ANSWER_CHARACTERS && parts.length > 0) break;
      parts.push({digest, body});
    }
    return {parts};
  }
}
