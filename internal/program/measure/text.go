package measure

import (
	"fmt"
	"math"
	"strings"
)

// formatScaled formats a value with the unit of the largest step that the value
// reaches, or of the last one.
func formatScaled(value float64, steps []float64, units []string) string {
	for n, step := range steps {
		if math.Abs(value) >= step || n == len(steps)-1 {
			return formatNumber(value/step) + " " + units[n]
		}
	}
	return ""
}

// formatNumber formats a value with about three significant digits.
func formatNumber(value float64) string {
	switch a := math.Abs(value); {
	case a == 0:
		return "0"
	case a < 0.01:
		return fmt.Sprintf("%.2g", value)
	case a >= 100:
		return fmt.Sprintf("%.0f", value)
	case a >= 10:
		return fmt.Sprintf("%.1f", value)
	default:
		return fmt.Sprintf("%.2f", value)
	}
}

func formatBytes(value float64) string {
	return formatScaled(value, []float64{1e9, 1e6, 1e3, 1}, []string{"GB", "MB", "KB", "B"})
}

func formatSeconds(value float64) string {
	return formatScaled(value, []float64{1, 1e-3, 1e-6, 1e-9, 1e-12}, []string{"s", "ms", "us", "ns", "ps"})
}

func formatCores(value float64) string { return formatNumber(100*value) + "%" }

// formatValue formats a value of a series with its unit.
func formatValue(value float64, unit string) string {
	switch unit {
	case "bytes":
		return formatBytes(value)
	case "s":
		return formatSeconds(value)
	default:
		return formatNumber(value) + " " + unit
	}
}

// formatInput formats the value of an input with its unit, without scaling.
func formatInput(i Input) string {
	return strings.TrimSpace(fmt.Sprintf("%v %s", trimTrailingZeros(i.Value), i.Unit))
}

func trimTrailingZeros(value float64) string {
	text := fmt.Sprintf("%.4f", value)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}
