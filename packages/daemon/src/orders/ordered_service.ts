import type {
  BackendServer,
  DesiredWeights,
  FencingSupport,
} from '@greengagecross/common';

/** The engines of one service and the weights that they should load. */
export interface OrderedService {
  readonly name: string;
  readonly engines: readonly BackendServer[];
  readonly desired: DesiredWeights;
  readonly fencing: FencingSupport;
  /** Names of all services that are sent orders, including this one. */
  readonly services: ReadonlySet<string>;
}
