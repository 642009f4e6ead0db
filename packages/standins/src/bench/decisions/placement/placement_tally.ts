import {build, type Histogram} from 'hdr-histogram-js';

/** Values counted while a way runs, turned into figures at its end. */
export class PlacementTally {
  requests = 0;
  refused = 0;
  messages = 0;
  /** The first three counts when the last quarter of the run began. */
  private late = {requests: 0, refused: 0, messages: 0};
  /** Returns whose context some engine had cached, up or not. */
  returns = 0;
  /** Returns that ran where their context was not cached. */
  lost = 0;
  /** Returns whose every warm engine was gone or at its bound. */
  unavoidable = 0;
  /** Requests above multiple x mean on an engine, at the worst. */
  maxExcessAtStart = 0;
  maxExcessSampled = 0;
  private readonly firstToken: Histogram = build();
  private readonly skewPercent: Histogram = build();

  /** Marks the beginning of the run's last quarter. */
  startLastQuarter(): void {
    const {requests, refused, messages} = this;
    this.late = {requests, refused, messages};
  }

  /** Records the time to a first token, waits included. */
  recordFirstToken(ms: number): void {
    this.firstToken.recordValue(Math.round(ms));
  }

  /** Records the worst engine over the mean. */
  recordSkew(worst: number, mean: number): void {
    if (mean > 0) {
      this.skewPercent.recordValue(Math.round((worst / mean) * 100));
    }
  }

  /** Lists the values with their units. */
  listValues(): {name: string; value: number; unit: string}[] {
    const share = (count: number, of: number): number =>
      computeRounded(of === 0 ? 0 : count / of);
    const lateRequests = this.requests - this.late.requests;
    return [
      {name: 'requests', value: this.requests, unit: 'requests'},
      {name: 'returns', value: this.returns, unit: 'requests'},
      {
        name: 'warm_share',
        value: share(this.returns - this.lost, this.returns),
        unit: 'share of returns',
      },
      {
        name: 'lost_share',
        value: share(this.lost, this.returns),
        unit: 'share of returns',
      },
      {
        name: 'unavoidable_share',
        value: share(this.unavoidable, this.returns),
        unit: 'share of returns',
      },
      {
        name: 'lost_over_unavoidable',
        value: share(this.lost, Math.max(1, this.unavoidable)),
        unit: 'ratio',
      },
      {
        name: 'max_excess_at_start',
        value: computeRounded(this.maxExcessAtStart),
        unit: 'requests above multiple x mean',
      },
      {
        name: 'max_excess_sampled',
        value: computeRounded(this.maxExcessSampled),
        unit: 'requests above multiple x mean',
      },
      {
        name: 'skew_p99',
        value: this.skewPercent.getValueAtPercentile(99) / 100,
        unit: 'max over mean',
      },
      {
        name: 'first_token_p50',
        value: this.firstToken.getValueAtPercentile(50),
        unit: 'ms',
      },
      {
        name: 'first_token_p95',
        value: this.firstToken.getValueAtPercentile(95),
        unit: 'ms',
      },
      {
        name: 'peer_messages',
        value: share(this.messages, this.requests),
        unit: 'calls per request',
      },
      {
        name: 'refused_share',
        value: share(this.refused, this.requests),
        unit: 'share of requests',
      },
      {
        name: 'peer_messages_last_quarter',
        value: share(this.messages - this.late.messages, lateRequests),
        unit: 'calls per request',
      },
      {
        name: 'refused_share_last_quarter',
        value: share(this.refused - this.late.refused, lateRequests),
        unit: 'share of requests',
      },
    ];
  }
}

function computeRounded(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
