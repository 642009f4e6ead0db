import {deflateSync, inflateSync} from 'node:zlib';
import {decodeJson, ExcessProperties} from '@greengagecross/common';
import type {RoutingConfiguration} from '../model/routing_configuration.js';
import type {FleetState} from '../state/fleet_state.js';
import type {ConfigurationDocument} from './configuration_message.js';
import {ConfigurationSchema} from './fleet_state_message.js';

/** Level 1 takes a few milliseconds for a configuration of 2,000 routes. */
const DEFLATE_LEVEL = 1;
/** Maximum size of a configuration from a peer after inflating, in bytes. */
const MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024;

/** The active configuration in the form in which daemons send it. */
export class ConfigurationDocuments {
  private document: ConfigurationDocument | undefined;
  /** The configuration that the document holds. */
  private source: RoutingConfiguration | undefined;

  constructor(private readonly state: FleetState) {}

  /** Returns the document, which is made once a version; undefined for none. */
  getActive(): ConfigurationDocument | undefined {
    const view = this.state.configuration.getView();
    if (view === undefined) return undefined;
    const {configuration} = view;
    if (this.source !== configuration) {
      this.source = configuration;
      this.document = makeDocument(configuration);
    }
    return this.document;
  }

  /**
   * Activates the configuration in a document of a peer, if it is newer. The
   * document is passed on as it came: fields that only later releases know
   * still reach daemons of these.
   *
   * @param nowMs time on the monotonic clock
   * @throws Error if the document is invalid
   */
  apply(document: ConfigurationDocument, nowMs: number): void {
    const configuration = decodeDocumentText(document.deflated);
    const {version} = configuration;
    if (version !== document.version) {
      throw new Error(
        `the document of version ${document.version} holds version ${version}`,
      );
    }
    if (!this.state.configuration.set(configuration, nowMs)) return;
    this.source = configuration;
    this.document = document;
    this.state.recordUpdate();
  }
}

function makeDocument(
  configuration: RoutingConfiguration,
): ConfigurationDocument {
  const bytes = deflateSync(JSON.stringify(configuration), {
    level: DEFLATE_LEVEL,
  });
  return {
    version: configuration.version,
    deflated: bytes.toString('base64'),
  };
}

function decodeDocumentText(deflated: string): RoutingConfiguration {
  const bytes = inflateSync(Buffer.from(deflated, 'base64'), {
    maxOutputLength: MAX_CONFIGURATION_BYTES,
  });
  return decodeJson(
    ConfigurationSchema,
    bytes.toString(),
    'configuration of a peer',
    ExcessProperties.IGNORED,
  );
}
