import type {Customer} from '@greengagecross/common';
import type {ConfigurationView} from '../configuration/configuration_view.js';

/** A caller whose key was verified, under the configuration it came with. */
export interface Caller {
  readonly customer: Customer;
  readonly view: ConfigurationView;
}
