import type {
  BackendServer,
  DesiredWeights,
  FencingSupport,
} from '@greengagecross/common';

/** The engines of one service and what they should have loaded. */
export interface OrderedService {
  readonly name: string;
  readonly engines: readonly BackendServer[];
  readonly desired: DesiredWeights;
  readonly fencing: FencingSupport;
  /** Every service whose engines get orders, this one included. */
  readonly services: ReadonlySet<string>;
}
