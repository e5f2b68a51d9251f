//! A linear model of the time to the first event, fitted by decayed least squares.

/// Tokens, requests in total and running requests, in the units of the model.
type Features = [f64; 3];

/// Units of the features: a thousand tokens, one request, ten running requests.
const UNITS: Features = [1000.0, 1.0, 10.0];

/// Initial estimate of the time for each of the units, in ms.
const PRIOR_MS: Features = [25.0, 5.0, 5.0];

/// Weight of the initial estimate, in observations of one unit.
const PRIOR_WEIGHT: f64 = 3.0;

/// Factor on what was seen before with each observation: the latest few hundred count.
const DECAY: f64 = 0.995;

/// Lowest time for each of the units, in ms.
const MIN_MS: Features = [1.0, 0.0, 0.0];

/// Expected time to the first event by the tokens to be processed before it and by the running
/// requests.
#[derive(Clone, Copy, Debug)]
pub struct LinearFit {
    squares: [Features; 3],
    products: Features,
    ms: Features,
}

impl Default for LinearFit {
    fn default() -> Self {
        Self {
            squares: [[0.0; 3]; 3],
            products: [0.0; 3],
            ms: PRIOR_MS,
        }
    }
}

fn features(tokens: f64, running: u32) -> Features {
    [tokens / UNITS[0], 1.0, f64::from(running) / UNITS[2]]
}

impl LinearFit {
    /// Returns the expected time to the first event, in ms.
    pub fn expected_ms(&self, tokens: f64, running: u32) -> f64 {
        let terms = features(tokens, running);
        terms.iter().zip(self.ms).map(|(term, ms)| term * ms).sum()
    }

    /// Adds an observation.
    pub fn record(&mut self, tokens: f64, running: u32, observed_ms: f64) {
        let terms = features(tokens, running);
        for row in 0..3 {
            for column in 0..3 {
                let square = &mut self.squares[row][column];
                *square = DECAY * *square + terms[row] * terms[column];
            }
            self.products[row] = DECAY * self.products[row] + terms[row] * observed_ms;
        }
        self.ms = self.solve();
    }

    /// Solves the normal equations by Gauss-Seidel steps from the last solution, which keep each
    /// time above its lowest.
    fn solve(&self) -> Features {
        let mut ms = self.ms;
        for _ in 0..8 {
            for row in 0..3 {
                let others: f64 = (0..3)
                    .filter(|column| *column != row)
                    .map(|column| self.squares[row][column] * ms[column])
                    .sum();
                let product = self.products[row] + PRIOR_WEIGHT * PRIOR_MS[row] - others;
                let solved = product / (self.squares[row][row] + PRIOR_WEIGHT);
                ms[row] = solved.max(MIN_MS[row]);
            }
        }
        ms
    }
}
