/** A service that takes part of a route's requests. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}
