import {Effect} from 'effect';
import {
  AcquireTrialSchema,
  FetchSuspectsSchema,
  PeerMethod,
  ReleaseTrialSchema,
  SuspectReportsSchema,
  type PeerServer,
} from '@greengagecross/peers';
import type {SuspectNews} from './suspect_news.js';
import type {TrialPermits} from './trial_permits.js';

/** Answers what peers ask and tell about requests that crash backend servers. */
export class SuspectAnswers {
  constructor(
    private readonly news: SuspectNews,
    private readonly permits: TrialPermits,
  ) {}

  /** Adds the methods to what peers may call. */
  addTo(peers: PeerServer): void {
    const {news, permits} = this;
    peers.addMethod(
      PeerMethod.SEND_SUSPECTS,
      SuspectReportsSchema,
      ({suspects}) => Effect.as(news.answerSend(suspects), {known: true}),
    );
    peers.addMethod(PeerMethod.FETCH_SUSPECTS, FetchSuspectsSchema, () =>
      news.answerFetch(),
    );
    peers.addMethod(PeerMethod.ACQUIRE_TRIAL, AcquireTrialSchema, request =>
      permits.answerAcquire(request),
    );
    peers.addMethod(PeerMethod.RELEASE_TRIAL, ReleaseTrialSchema, release =>
      Effect.as(permits.answerRelease(release), {released: true}),
    );
  }
}
