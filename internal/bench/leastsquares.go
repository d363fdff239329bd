package bench

import (
	"errors"
	"math"
)

// errSingular means that the normal equations have no unique solution.
var errSingular = errors.New("bench: the samples don't determine the coefficients")

// leastSquares returns the coefficients c that minimise the sum of squares of x*c - y.
func leastSquares(x [][]float64, y []float64) ([]float64, error) {
	if len(x) == 0 {
		return nil, errSingular
	}
	n := len(x[0])
	// a is the augmented matrix of the normal equations: the last column is the right-hand side.
	a := make([][]float64, n)
	for i := range a {
		a[i] = make([]float64, n+1)
		for k := range x {
			for j := range n {
				a[i][j] += x[k][i] * x[k][j]
			}
			a[i][n] += x[k][i] * y[k]
		}
	}
	return solve(a)
}

// solve solves the linear system of the augmented matrix a by Gauss-Jordan elimination with
// partial pivoting. It modifies a.
func solve(a [][]float64) ([]float64, error) {
	n := len(a)
	for col := range n {
		pivot := col
		for row := col + 1; row < n; row++ {
			if math.Abs(a[row][col]) > math.Abs(a[pivot][col]) {
				pivot = row
			}
		}
		a[col], a[pivot] = a[pivot], a[col]
		if math.Abs(a[col][col]) < 1e-9 {
			return nil, errSingular
		}
		for row := range n {
			if row == col {
				continue
			}
			factor := a[row][col] / a[col][col]
			for k := col; k <= n; k++ {
				a[row][k] -= factor * a[col][k]
			}
		}
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = a[i][n] / a[i][i]
	}
	return out, nil
}
