import {LayerError} from '../errors/layer_error.js';
import {formatProblem, type Problem} from './problem.js';

/**
 * An untrusted document does not match its schema. `subject` names the document
 * and `problems` lists every invalid value.
 */
export class ValidationError extends LayerError {
  constructor(
    readonly subject: string,
    readonly problems: readonly Problem[],
  ) {
    super(
      'ValidationError',
      `${subject} has ${problems.length} problem(s):\n` +
        problems.map(problem => `  ${formatProblem(problem)}`).join('\n'),
      {subject, problems: problems.length},
    );
  }
}
