/**
 * Abstract classes for the services of the platform under package daemon
 * (table service, object store, host list and weight store), and their HTTP
 * adapters. The top folder `platform` adapts another platform, with a row store,
 * for package router.
 */
export * from './platform_failure.js';
export * from './platform_error.js';
export * from './table_row.js';
export * from './transaction.js';
export * from './table_service.js';
export * from './object_store.js';
export * from './host.js';
export * from './host_directory.js';
export * from './weight_store.js';
export * from './platform_client.js';
export * from './http_table_service.js';
export * from './http_object_store.js';
export * from './http_host_directory.js';
export * from './http_weight_store.js';
export * from './configuration/configuration_revision.js';
export * from './configuration/accepted_configuration.js';
export * from './configuration/configuration_error.js';
export * from './configuration/accept_result.js';
export * from './configuration/configuration_store.js';
export * from './configuration/digest.js';
export * from './lease/lease_row.js';
export * from './lease/lease_store.js';
export * from './lease/load_permit_store.js';
export * from './configuration/part.js';
export * from './configuration/part_source.js';
export * from './configuration/store_part_source.js';
export * from './configuration/part_tree.js';
export * from './configuration/tree_node.js';
export * from './configuration/tree_reader.js';
export * from './configuration/part_pack.js';
export * from './configuration/retention.js';
export * from './configuration/segment.js';
export * from './configuration/configuration_parts.js';
export * from './configuration/configuration_index.js';
export * from './configuration/configuration_reader.js';
export * from './configuration/configuration_offer.js';
