import {Effect, Schema} from 'effect';
import type {PlatformClient} from './platform_client.js';
import type {PlatformError} from './platform_error.js';
import {TableRowSchema, type TableRow} from './table_row.js';
import {TableService} from './table_service.js';
import {
  TransactionResultSchema,
  type Transaction,
  type TransactionResult,
} from './transaction.js';

const RowsSchema = Schema.Struct({rows: Schema.Array(TableRowSchema)});

/** Table service that is reached over the platform's HTTP API. */
export class HttpTableService extends TableService {
  constructor(private readonly client: PlatformClient) {
    super();
  }

  override read(
    keys: readonly string[],
  ): Effect.Effect<readonly TableRow[], PlatformError> {
    return this.client
      .requestJson('POST', '/v1/table/read', {keys}, RowsSchema)
      .pipe(Effect.map(reply => reply.rows));
  }

  override list(
    prefix: string,
    after: string,
    limit: number,
  ): Effect.Effect<readonly TableRow[], PlatformError> {
    return this.client
      .requestJson('POST', '/v1/table/list', {prefix, after, limit}, RowsSchema)
      .pipe(Effect.map(reply => reply.rows));
  }

  override transact(
    transaction: Transaction,
  ): Effect.Effect<TransactionResult, PlatformError> {
    return this.client.requestJson(
      'POST',
      '/v1/table/transact',
      transaction,
      TransactionResultSchema,
    );
  }
}
