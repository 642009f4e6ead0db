import type {Address} from '@greengagecross/common';

/** Fields that the router adds to a request to a backend server. */
export interface DispatchFields {
  /** Id of the intended server; any other server refuses the request. */
  readonly serverId: string;
  /** Time until the request's deadline, in milliseconds; at least 1. */
  readonly remainingMs: number;
  /** Name of the customer; undefined when no API key is required. */
  readonly customer?: string;
  /**
   * Engine whose cached context of the prompt is copied before the request is
   * run; undefined when nothing is copied.
   */
  readonly cacheSource?: Address;
  /** Priority from 0 to 9; 0 is the most urgent. */
  readonly priority: number;
  /** Id of the event after which a stream resumes; undefined at its start. */
  readonly lastEventId?: string;
}
