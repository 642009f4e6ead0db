import type {PriorityClass} from '@greengagecross/common';

/** A request that asks for room on one engine. */
export interface AdmissionRequest {
  readonly slotId: string;
  readonly customer: string;
  readonly priority: PriorityClass;
  /** Most requests of the customer that the engine may carry. */
  readonly customerShare: number;
  /** When it gives up waiting, in milliseconds of the local clock. */
  readonly waitUntilMs: number;
}
