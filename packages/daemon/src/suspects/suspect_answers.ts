import {Effect} from 'effect';
import {
  AcquireTrialSchema,
  FetchSuspectsSchema,
  PeerMethod,
  ReleaseTrialSchema,
  SuspectReportsSchema,
  type PeerServer,
} from '@greengagecross/peers';
import type {SuspectBroadcaster} from './suspect_broadcaster.js';
import type {TextReports} from './text_reports.js';
import type {TrialPermits} from './trial_permits.js';

/**
 * Handles peers' RPCs about suspects and trials. The fields `known` and
 * `released` of two answers only confirm that the call was handled.
 */
export class SuspectAnswers {
  constructor(
    private readonly broadcaster: SuspectBroadcaster,
    private readonly permits: TrialPermits,
    private readonly texts: TextReports,
  ) {}

  /** Adds the methods to the server of peer calls. */
  addTo(peers: PeerServer): void {
    const {broadcaster, permits, texts: textReports} = this;
    peers.addMethod(
      PeerMethod.SEND_SUSPECTS,
      SuspectReportsSchema,
      ({suspects, texts}) => {
        textReports.merge(texts);
        return Effect.as(broadcaster.mergeReports(suspects), {known: true});
      },
    );
    peers.addMethod(PeerMethod.FETCH_SUSPECTS, FetchSuspectsSchema, () =>
      Effect.map(broadcaster.answerFetch(), answer => ({
        ...answer,
        texts: textReports.list(),
      })),
    );
    peers.addMethod(PeerMethod.ACQUIRE_TRIAL, AcquireTrialSchema, request =>
      permits.answerAcquire(request),
    );
    peers.addMethod(PeerMethod.RELEASE_TRIAL, ReleaseTrialSchema, release =>
      Effect.as(permits.answerRelease(release), {released: true}),
    );
  }
}
