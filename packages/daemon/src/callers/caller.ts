import type {Customer} from '@greengagecross/common';
import type {ConfigurationView} from '../configuration/configuration_view.js';

/**
 * An authenticated caller and the configuration used to verify its key. The
 * caller is what packages/router calls a client.
 */
export interface Caller {
  readonly customer: Customer;
  readonly view: ConfigurationView;
}
