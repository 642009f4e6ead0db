/** A service that receives a share of a route's requests. */
export interface ServiceShare {
  readonly service: string;
  /** Share relative to the sum of the weights of the route. */
  readonly weight: number;
}
